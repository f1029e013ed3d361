"""A randomized soak of real node processes under overlapping faults.

`python -m tests.soak --seeds 50` plays fifty seeds; `--help` lists the options.
The store and the endpoints are stand-ins in the soak's own process.
"""
