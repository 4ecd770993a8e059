"""Certificates: loaded from files, and loaded anew when the files change."""

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
    """The certificate shown to those who connect.

    :param settings: files of certificate and key
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Load the certificate.

        :raises SettingsError: it cannot be loaded
        """
        self.settings = settings
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self.loaded_at = self._changed_at()
        self._load()

    async def run(self) -> None:
        """Load the certificate again whenever its files change.

        Connections that are open keep the old one; new ones get the new one.
        """
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Load the certificate again if its files have changed."""
        try:
            changed_at = self._changed_at()
            if changed_at == self.loaded_at:
                return
            self._load()
        except SettingsError as error:
            log_event(Event.CERTIFICATE_REFUSED, why=error.reason)
            return
        self.loaded_at = changed_at
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

    def _changed_at(self) -> tuple[int, int]:
        """Return when the files were changed."""
        files = (self.settings.certificate_file, self.settings.key_file)
        try:
            times = [Path(name).stat().st_mtime_ns for name in files]
        except OSError as error:
            raise SettingsError(str(error), step=STEP) from error
        return times[0], times[1]


class PeerTls:
    """Certificates of the links: both ends show one.

    The files are read for every new link that is dialled, and by the server
    whenever they change.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Keep the files' names."""
        self.settings = settings
        self.accepting = ServerTls(settings)

    def client_context(self) -> ssl.SSLContext:
        """Return what this instance shows and trusts when it dials."""
        context = ssl.create_default_context(
            cafile=self.settings.authority_file,
        )
        context.load_cert_chain(
            self.settings.certificate_file,
            self.settings.key_file,
        )
        return context

    def server_context(self) -> ssl.SSLContext:
        """Return what this instance shows and demands when it is dialled."""
        context = self.accepting.context
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(self.settings.authority_file)
        return context


class ProbeSeal:
    """Marks probes as coming from an instance that knows a secret.

    :param secret: shared by all instances, empty for no mark
    """

    def __init__(self, secret: bytes = b'') -> None:
        """Keep the secret."""
        self.secret = secret

    def seal(self, payload: bytes) -> bytes:
        """Return a payload with its mark."""
        return payload + self._mark(payload) if self.secret else payload

    def unseal(self, datagram: bytes) -> bytes | None:
        """Return the payload, nothing if the mark is wrong."""
        if not self.secret:
            return datagram
        payload, mark = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
        if hmac.compare_digest(self._mark(payload), mark):
            return payload
        return None

    def _mark(self, payload: bytes) -> bytes:
        """Return the mark of a payload."""
        return hmac.digest(self.secret, payload, hashlib.sha256)[:MAC_BYTES]


def authority_context(authority_file: str) -> ssl.SSLContext | None:
    """Return a context that trusts one authority, nothing if none is named."""
    if not authority_file:
        return None
    try:
        return ssl.create_default_context(cafile=authority_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(
            f'{authority_file}: {error}',
            step=STEP,
        ) from error
