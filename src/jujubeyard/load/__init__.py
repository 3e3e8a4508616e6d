"""Load generator for clusters on the loopback interface."""
