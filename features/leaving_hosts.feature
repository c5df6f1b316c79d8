@leaving-hosts
Feature: Hosts that leave while nodes restart or lose the store

  # Guards against nodes that rely on a publisher that has not read the store:
  # two new publishers relied on each other, so nobody read it.
  Scenario Outline: should stop requests to a leaving host in time after both publishers restarted
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for <seconds> seconds
    When the leader and the node with the lowest id restart in turn <times> times, each time as a host leaves
    Then no node in touch sends requests to a leaving host any longer

    Examples:
      | nodes | seconds | times |
      | 5     | 2       | 3     |
      | 12    | 3       | 10    |
      | 34    | 3       | 2     |

  # Guards against late requests that no log explains.
  Scenario: should log how each node learned that a host leaves
    Given 34 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When a host leaves
    Then each node logs when and from whom it learned of it

  # Guards against requests on connections that open after the host has left.
  @late-connections
  Scenario Outline: should send a leaving host no request once the node knows, however long connections take
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for 2 seconds
    And connections take <connect> milliseconds to open
    When a host leaves
    Then no node sends it a request after it learned of it
    And all requests are answered

    Examples:
      | nodes | connect |
      | 5     | 100     |
      | 5     | 300     |

  # Guards against nodes that rely on a publisher whose polls get no response.
  Scenario Outline: should stop requests to a leaving host in time while the store turns publishers away
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for <seconds> seconds
    When the store turns away the leader and every third node <times> times, each time as a host leaves
    Then no node in touch sends requests to a leaving host any longer

    Examples:
      | nodes | seconds | times |
      | 5     | 2       | 3     |
      | 12    | 3       | 6     |

  # Guards against nodes of a fleet with hubs that learn of leaving hosts from
  # publishers without the store.
  Scenario Outline: should stop requests to leaving hosts in time while the store turns away a third of the nodes
    Given 34 nodes with seed <seed> that may send requests to a leaving host for 3 seconds
    When <times> times the store is <access> for the leader and 11 other nodes for 6 seconds, and hosts leave just before and after
    Then no node in touch sends requests to a leaving host any longer

    Examples:
      | seed | access  | times |
      | 1    | silent  | 4     |
      | 2    | refused | 2     |
      | 3    | busy    | 2     |
      | 4    | reset   | 2     |

  # Guards against nodes without the store that learn nothing while the publishers are
  # without it, too, although other nodes read it.
  @without-publishers
  Scenario Outline: should tell nodes that the store turns away what other nodes read, also without publishers
    Given <nodes> nodes with seed <seed> that may send requests to a leaving host for 3 seconds
    When the store is silent for the publishers and every third node for 6 seconds and a host leaves
    Then every node learns of it within 3 seconds

    Examples:
      | nodes | seed |
      | 12    | 1    |
      | 34    | 2    |

  # Guards against ages of reads that leave out the time that a status was on its way.
  @dated-reads
  Scenario Outline: should stop requests to a leaving host in time while statuses wait to be read
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for <seconds> seconds
    And statuses wait <delay> milliseconds to be read
    When the store turns away the leader and every third node 4 times, each time as a host leaves
    Then no node in touch sends requests to a leaving host any longer

    Examples:
      | nodes | seconds | delay |
      | 5     | 2       | 400   |
      | 5     | 2       | 1400  |
      | 12    | 3       | 700   |
      | 12    | 3       | 1500  |
      | 12    | 3       | 2600  |
      | 34    | 3       | 1500  |

  # Guards against orders of restarts, crashes, refusals by the store and lost
  # messages in which a leaving host is not noticed.
  Scenario Outline: should stop requests to a leaving host in time whatever happens to nodes meanwhile
    Given <nodes> nodes with seed <seed> that may send requests to a leaving host for <seconds> seconds
    When in 4 rounds nodes are disrupted while a host leaves
    Then no node in touch sends requests to a leaving host any longer

    Examples:
      | nodes | seed | seconds |
      | 5     | 218  | 2       |
      | 9     | 301  | 3       |
      | 12    | 233  | 3       |
