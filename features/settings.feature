Feature: Settings

  Scenario Outline: should report the file, section, key and expected value of an invalid setting
    Given gateway settings with <mistake>
    Then the problem names section "<section>", key "<key>" and expects "<expected>"

    Examples:
      | mistake               | section  | key            | expected                |
      | an unknown key        | gateway  | colour         | no key of this name     |
      | an unknown section    | colours  |                | no section of this name |
      | a host name           | gateway  | peer_address   | an IP address           |
      | a bad unit            | limits   | max_body       | a size with a unit      |
      | a missing section     | peers    |                | this section            |
      | a store by host name  | platform | store          | a URL with an IP        |

  Scenario: should accept all example files
    Then each example file is valid

  Scenario: should exit with code 2 for invalid settings, before opening a port or connection
    When the gateway binary runs with invalid settings
    Then it prints the problem and exits with code 2

  Scenario: should apply changed settings of a node, and keep them when the file becomes invalid
    Given a watched settings file of a node
    When its seeds change
    Then the changed settings are applied
    When its store address becomes a host name
    Then the settings stay unchanged and the reason is logged
