"""What the fleet knows of how long services and routes take to answer."""
