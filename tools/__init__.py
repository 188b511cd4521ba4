"""Programs for developers: fleets on loopback, demos, test runs and packaging."""
