"""Interactive prompt that completes words of statements."""

from collections.abc import Iterator

from prompt_toolkit import PromptSession
from prompt_toolkit.completion import CompleteEvent, Completer, Completion
from prompt_toolkit.document import Document

from dandelionplank.operators.language import expected_words


class StatementCompleter(Completer):
    """Completes the word at the cursor with words that the grammar accepts."""

    def get_completions(
        self,
        document: Document,
        complete_event: CompleteEvent,
    ) -> Iterator[Completion]:
        """Yield the words that the grammar accepts at the cursor."""
        text = document.text_before_cursor
        word = document.get_word_before_cursor()
        entered = text[: len(text) - len(word)]
        for expected in expected_words(entered):
            for choice in expected.replace(' or ', ', ').split(', '):
                if choice.isupper() and choice.startswith(word.upper()):
                    yield Completion(choice, -len(word))


def read_statements() -> Iterator[str]:
    """Yield statements from the terminal until end of file."""
    session: PromptSession[str] = PromptSession(
        'dandelionplank> ',
        completer=StatementCompleter(),
    )
    while True:
        try:
            text = session.prompt()
        except EOFError:
            return
        except KeyboardInterrupt:
            continue
        if text.strip():
            yield text
