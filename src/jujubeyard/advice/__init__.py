"""What an operator should know of a configuration before it is in force."""
