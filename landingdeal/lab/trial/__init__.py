"""Short, dense fault trials: the program's process among emulated callers, lab hubs and discovery."""
