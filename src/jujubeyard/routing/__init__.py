"""Configuration of routes and the choices made with it."""
