import socket

import pytest
from twisted.internet.selectreactor import SelectReactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from burdockhitch.adapters.listening import listen
from burdockhitch.errors import ListenError
from tools.fleet import PORT_MAX, PORT_MIN, free_addresses


@pytest.mark.parametrize("n_addresses", [1, 60])
def test_free_ports_are_none_of_outgoing_connections(n_addresses):
    addresses = free_addresses(n_addresses)
    assert len(set(addresses)) == n_addresses
    for address in addresses:
        assert PORT_MIN <= int(address.rpartition(":")[2]) < PORT_MAX


def test_no_port_is_returned_twice():
    addresses = [address for _ in range(100) for address in free_addresses(4)]
    assert len(set(addresses)) == len(addresses)


@pytest.mark.parametrize("is_taken", [False, True])
def test_a_taken_address_is_a_typed_failure(is_taken):
    taken = socket.socket()
    (address,) = free_addresses(1)
    if is_taken:
        host, _, port = address.rpartition(":")
        taken.bind((host, int(port)))
        taken.listen()
    ports = []
    if is_taken:
        with pytest.raises(ListenError, match=address):
            listen(SelectReactor(), address, Site(Resource()), ports)
    else:
        listen(SelectReactor(), address, Site(Resource()), ports)
    assert bool(ports) == (not is_taken)
    for port in ports:
        port.stopListening()
    taken.close()
