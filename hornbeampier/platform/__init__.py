"""The platform that runs the nodes: its names, formats and store API."""
