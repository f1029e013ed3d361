"""The platform that runs the nodes: its names, formats and store API.

The modules of this package make no decisions on requests.
"""
