"""TLS contexts that reload changed certificates, and signing of probes."""

import asyncio
import hashlib
import hmac
import ssl
from pathlib import Path

from dandelionplank.errors import SettingsError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.settings import TlsSettings

CHECK_PERIOD_S = 1.0
MAC_BYTES = 16
STEP = 'tls'


class ServerTls:
    """Server context with a certificate that is reloaded when it changes.

    :param settings: files of certificate and key
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Load the certificate.

        :raises SettingsError: the certificate cannot be loaded
        """
        self.settings = settings
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.loaded_mtimes_ns = self._read_mtimes_ns()
        self._load()

    async def run(self) -> None:
        """Reload the certificate whenever its files change.

        Open connections keep the old certificate.
        """
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Reload the certificate if its files have changed."""
        try:
            mtimes_ns = self._read_mtimes_ns()
            if mtimes_ns == self.loaded_mtimes_ns:
                return
            self._load()
        except SettingsError as error:
            log_event(Event.CERTIFICATE_REFUSED, why=error.reason)
            return
        self.loaded_mtimes_ns = mtimes_ns
        log_event(
            Event.CERTIFICATE_LOADED,
            file=self.settings.certificate_file,
        )

    def _load(self) -> None:
        """Load certificate and key into the context."""
        try:
            self.context.load_cert_chain(
                self.settings.certificate_file,
                self.settings.key_file,
            )
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                f'{self.settings.certificate_file}: {error}',
                step=STEP,
            ) from error

    def _read_mtimes_ns(self) -> tuple[int, int]:
        """Return the modification times of certificate and key, in ns."""
        files = (self.settings.certificate_file, self.settings.key_file)
        try:
            mtimes_ns = [Path(name).stat().st_mtime_ns for name in files]
        except OSError as error:
            raise SettingsError(str(error), step=STEP) from error
        return mtimes_ns[0], mtimes_ns[1]


class PeerTls:
    """Contexts for mutual TLS on the links between routers.

    The client side reads the files for every new connection, the server side
    whenever they change.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Load the certificate for the server side."""
        self.settings = settings
        self.server_tls = ServerTls(settings)

    def client_context(self) -> ssl.SSLContext:
        """Return the context for opening links to peers."""
        context = ssl.create_default_context(
            cafile=self.settings.authority_file,
        )
        context.load_cert_chain(
            self.settings.certificate_file,
            self.settings.key_file,
        )
        return context

    def server_context(self) -> ssl.SSLContext:
        """Return the context for accepting links; peers need a certificate."""
        context = self.server_tls.context
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self.settings.authority_file)
        return context


class ProbeSigner:
    """Authenticates probes with an HMAC keyed with a shared secret.

    :param secret: shared by all instances, empty to send probes unsigned
    """

    def __init__(self, secret: bytes = b'') -> None:
        """Hold the secret."""
        self.secret = secret

    def sign(self, payload: bytes) -> bytes:
        """Return a payload followed by its MAC."""
        return payload + self._mac(payload) if self.secret else payload

    def unsign(self, datagram: bytes) -> bytes | None:
        """Return the payload, None if the MAC does not match."""
        if not self.secret:
            return datagram
        payload, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
        if hmac.compare_digest(self._mac(payload), mac):
            return payload
        return None

    def _mac(self, payload: bytes) -> bytes:
        """Return the MAC of a payload."""
        return hmac.digest(self.secret, payload, hashlib.sha256)[:MAC_BYTES]


def authority_context(authority_file: str) -> ssl.SSLContext | None:
    """Return a context that trusts one authority, None if no file is set."""
    if not authority_file:
        return None
    try:
        return ssl.create_default_context(cafile=authority_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(
            f'{authority_file}: {error}',
            step=STEP,
        ) from error
