"""Tests listening on addresses, and the free ports that tests of fleets use."""

import socket

import pytest
from twisted.internet.selectreactor import SelectReactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from burdockhitch.adapters.listening import listen
from burdockhitch.errors import ListenError
from tools.fleet import PORT_MAX, PORT_MIN, find_free_addresses


@pytest.mark.parametrize("n_addresses", [1, 60])
def test_free_ports_are_outside_the_range_of_outgoing_connections(n_addresses):
    addresses = find_free_addresses(n_addresses)
    assert len(set(addresses)) == n_addresses
    for address in addresses:
        assert PORT_MIN <= int(address.rpartition(":")[2]) < PORT_MAX


def test_free_addresses_never_repeat_a_port():
    addresses = [address for _ in range(100) for address in find_free_addresses(4)]
    assert len(set(addresses)) == len(addresses)


@pytest.mark.parametrize("is_in_use", [False, True])
def test_listening_on_an_address_in_use_raises_listen_error(is_in_use):
    other_socket = socket.socket()
    (address,) = find_free_addresses(1)
    if is_in_use:
        host, _, port = address.rpartition(":")
        other_socket.bind((host, int(port)))
        other_socket.listen()
    ports = []
    if is_in_use:
        with pytest.raises(ListenError, match=address):
            listen(SelectReactor(), address, Site(Resource()), ports)
    else:
        listen(SelectReactor(), address, Site(Resource()), ports)
    assert bool(ports) == (not is_in_use)
    for port in ports:
        port.stopListening()
    other_socket.close()
