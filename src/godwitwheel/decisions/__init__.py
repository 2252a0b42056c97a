"""Pure decision functions and their state; the present time is an argument."""
