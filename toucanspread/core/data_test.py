"""Tests which texts count as addresses and numbers."""

import hypothesis
import testtools
from hypothesis import strategies

from toucanspread.core import data

ADDRESSES = (
    "10.0.0.1:1",
    "127.0.0.1:65535",
    "localhost:80",
    "a:1",
    "front-limon-a-1.example:80",
    "a_b.c-d.9e:80",
    f"{'a' * 63}.{'b' * 63}:80",
)
NO_ADDRESSES = (
    "",
    ":80",
    "here",
    "a:",
    "a:0",
    "a:-1",
    "a:65536",
    "a:70000",
    "a:8\u00b2",
    "a:" + "9" * 5_000,
    "a:b:80",
    "a..b:80",
    ".a:80",
    "a.:80",
    "-a:80",
    "a-:80",
    "a b:80",
    "a\r\nb:80",
    "a\n:80",
    "\u00e4:80",
    f"{'a' * 64}:80",
    ".".join(["a" * 49] * 6) + ":80",
    "1.2.3:80",
    "1.2.3.4.5:80",
    "10.0.0.256:80",
    "010.0.0.1:80",
    "[::1]:80",
    "::1:80",
)
DATAGRAM_ADDRESSES = ("10.0.0.1:1", "127.0.0.1:65535")


class AddressTest(testtools.TestCase):
    def test_an_address_is_one_that_can_be_connected_to(self):
        for text in ADDRESSES:
            self.assertTrue(data.is_address(text), text)
        for text in NO_ADDRESSES:
            self.assertFalse(data.is_address(text), text)

    def test_datagrams_are_sent_to_ip_addresses_only(self):
        for text in DATAGRAM_ADDRESSES:
            self.assertTrue(data.is_ip_address(text), text)
        for text in (*NO_ADDRESSES, "localhost:80", "a.b:80"):
            self.assertFalse(data.is_ip_address(text), text)

    @hypothesis.given(strategies.text(alphabet="a0-_.:\u00e4 ", max_size=80))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_the_host_of_an_address_can_be_encoded_for_its_resolution(self, host):
        if data.is_address(f"{host}:80"):
            host.encode("idna")
