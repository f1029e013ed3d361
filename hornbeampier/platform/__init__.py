"""Wire names, formats and calls of the platform that runs the nodes."""
