"""Gossip: VMs that run `Node` send each other their state in datagrams."""
