"""Gossip: the state that the VMs of `Node` send each other in datagrams."""
