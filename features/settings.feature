Feature: Settings

  Scenario Outline: should name file, section, key and what was expected
    Given gateway settings with <mistake>
    Then the problem names section "<section>", key "<key>" and expects "<expected>"

    Examples:
      | mistake               | section  | key            | expected           |
      | an unknown key        | gateway  | colour         | no such key        |
      | an unknown section    | colours  |                | no such section    |
      | a host name           | gateway  | peer_address   | an IP number       |
      | a bad unit            | limits   | max_body       | a size with its unit |
      | a missing section     | peers    |                | this section       |
      | a store by host name  | platform | store          | a URL with an IP   |

  Scenario: should accept every example
    Then each example file is valid

  Scenario: should leave with exit code 2 before anything is opened
    When the gateway binary runs with settings that are wrong
    Then it prints the problem and leaves with exit code 2

  Scenario: should take changed settings of a node, and keep the old ones when the file is wrong
    Given a node's settings file that is watched
    When its seeds change
    Then the changed settings are taken
    When its store becomes a host name
    Then the settings stay and the reason is logged
