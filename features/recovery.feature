@recovery
Feature: Recovery after every process ended

  # Guards against another hash, which would move keys between nodes of two versions.
  Scenario Outline: should hash "<text>" as XXH32 does
    When "<text>" is hashed
    Then the hash is <hash>

    Examples:
      | text                                    | hash     |
      |                                         | 02cc5d05 |
      | abc                                     | 32d153ff |
      | Nobody inspects the spammish repetition | e2293b2f |
      | exactly16 bytes!                        | 3762f1f4 |
      | Größe, 大小, und mehr als 16 Bytes      | 3fc91c02 |
