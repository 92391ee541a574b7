"""HTTP client of the origin of weights: manifests by hash, files by byte range."""

import abc
import asyncio
import urllib.parse

from toucanspread.core import data
from toucanspread.core.transfers import manifest
from toucanspread.ops.http import http_client

HTTP_OK = 200
HTTP_PARTIAL = 206


class OriginError(Exception):
    """The origin did not return the requested bytes.

    :param stalled: whether the origin sent no data in time, rather than a refusal.
    """

    def __init__(self, detail: str, stalled: bool = False):
        super().__init__(detail)
        self.stalled = stalled


class Origin(abc.ABC):
    """A store of weights that all processes can read."""

    @abc.abstractmethod
    async def fetch_manifest(
        self, manifest_hash: data.ManifestHash, stall_s: float
    ) -> bytes:
        """Return a manifest's bytes, not yet verified.

        :raises OriginError: when the origin does not return them.
        """

    @abc.abstractmethod
    async def fetch_range(
        self,
        manifest_hash: data.ManifestHash,
        path: str,
        offset_bytes: int,
        size_bytes: int,
        stall_s: float,
    ) -> bytes:
        """Return a range of a version's file, not yet verified.

        :param stall_s: seconds without any data after which the fetch fails.
        :raises OriginError: when the origin does not return the range.
        """


class HttpOrigin(Origin):
    """An origin that serves byte ranges as in RFC 9110.

    :param base_path: path prefix of ``/manifests`` and ``/files``.
    """

    def __init__(self, client: http_client.HttpClient, base_path: str = ""):
        self._client = client
        self._base_path = base_path

    @classmethod
    def from_config(cls, origin_url: str) -> "HttpOrigin":
        """Return the origin at a URL with an IP address."""
        parts = urllib.parse.urlsplit(origin_url)
        return cls(http_client.HttpClient(parts.netloc), parts.path.rstrip("/"))

    async def fetch_manifest(
        self, manifest_hash: data.ManifestHash, stall_s: float
    ) -> bytes:
        """Return a manifest's bytes."""
        path = f"{self._base_path}/manifests/{manifest_hash}"
        return await self._get(path, {}, HTTP_OK, manifest.MAX_MANIFEST_BYTES, stall_s)

    async def fetch_range(
        self,
        manifest_hash: data.ManifestHash,
        path: str,
        offset_bytes: int,
        size_bytes: int,
        stall_s: float,
    ) -> bytes:
        """Return a range of a version's file."""
        quoted = urllib.parse.quote(path)
        full_path = f"{self._base_path}/files/{manifest_hash}/{quoted}"
        last = offset_bytes + size_bytes - 1
        headers = {"Range": f"bytes={offset_bytes}-{last}"}
        payload = await self._get(full_path, headers, HTTP_PARTIAL, size_bytes, stall_s)
        if len(payload) != size_bytes:
            raise OriginError(
                f"origin returned {len(payload)} bytes for a range of {size_bytes}"
            )
        return payload

    async def _get(
        self,
        path: str,
        headers: dict[str, str],
        expected_status: int,
        max_bytes: int,
        stall_s: float,
    ) -> bytes:
        try:
            response = await self._client.open(
                "GET", path, headers=headers, timeout_s=stall_s
            )
        except http_client.HttpError as error:
            raise OriginError(str(error), stalled=error.sent) from error
        try:
            if response.status != expected_status:
                raise OriginError(
                    f"origin answered with status {response.status} for {path}"
                )
            return await _read_body(response, max_bytes, stall_s)
        finally:
            response.close()


async def _read_body(
    response: http_client.Response, max_bytes: int, stall_s: float
) -> bytes:
    """Read a body; each block has to arrive within ``stall_s``."""
    body = bytearray()
    blocks = response.iter_body()
    while True:
        try:
            block = await asyncio.wait_for(anext(blocks), stall_s)
        except StopAsyncIteration:
            return bytes(body)
        except TimeoutError as error:
            raise OriginError(
                f"origin sent no data for {stall_s} s", stalled=True
            ) from error
        except http_client.HttpError as error:
            raise OriginError(str(error)) from error
        body += block
        if len(body) > max_bytes:
            raise OriginError(f"origin sent a body over {max_bytes} bytes")
