Feature: Event framing

  Scenario Outline: should count complete events for any chunk size
    Given a stream of 5 events and its end marker
    When it arrives in chunks of <size> bytes
    Then 5 events are counted, the bytes are unchanged and the end marker is detected

    Examples:
      | size |
      | 1    |
      | 7    |
      | 64   |
      | 4096 |

  Scenario: should not treat a stream without its end marker as complete
    Given a stream of 5 events without an end marker
    When it arrives in chunks of 16 bytes
    Then 5 events are counted and no end marker is detected
