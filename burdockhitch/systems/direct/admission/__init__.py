"""Which requests are sent, held or refused while a service lacks capacity."""
