"""What VMs tell each other all the time, in datagrams."""
