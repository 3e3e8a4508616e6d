"""Takes callers' HTTP requests and hands them to gates."""
