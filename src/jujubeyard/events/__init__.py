"""Events of all processes, merged into one time line and checked."""
