Feature: Event framing

  Scenario Outline: should count whole events however the bytes are cut
    Given a stream of 5 events and its end marker
    When it arrives in chunks of <size> bytes
    Then 5 events are counted, the bytes are unchanged and the end is seen

    Examples:
      | size |
      | 1    |
      | 7    |
      | 64   |
      | 4096 |

  Scenario: should not take a stream without its end marker for whole
    Given a stream of 5 events without an end marker
    When it arrives in chunks of 16 bytes
    Then 5 events are counted and the end is not seen
