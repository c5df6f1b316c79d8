@gossip
Feature: Gossip between nodes

  Scenario Outline: should receive recent statuses of every node, with few messages
    Given <nodes> gossiping nodes
    When they run for 10 seconds
    Then every node always sees <others> other live nodes
    And the newest status of each node is at most <age> milliseconds old
    And each node receives at most <messages> messages a second

    Examples:
      | nodes | others | age | messages |
      | 5     | 4      | 200 | 45       |
      | 34    | 33     | 700 | 30       |
      | 68    | 67     | 700 | 45       |

  Scenario: should recover quickly after a hub stops
    Given 34 gossiping nodes
    When the hub of a zone stops
    Then 2 seconds later every remaining node sees 32 other live nodes with statuses at most 700 milliseconds old

  Scenario: should see a node as live when it can't reach the hub of its zone
    Given 34 gossiping nodes
    When node 20 can't reach the hub of its zone for 10 seconds
    Then every node always sees 33 other live nodes

  Scenario: should send an urgent status to all nodes without delay
    Given 34 gossiping nodes
    When node 20 has an urgent status
    Then every other node has it 40 milliseconds later

  Scenario: should leave links to requests when every node has urgent statuses
    Given 34 gossiping nodes
    When every node is busy and has an urgent status 20 times a second for 5 seconds
    Then no node sends more than 25 percent of what its link carries
    And every node always sees 33 other live nodes

  Scenario Outline: should reject a compressed message that <fault>
    When a node receives a compressed message that <fault>
    Then the message is malformed

    Examples:
      | fault                             |
      | is cut off                        |
      | has other bytes                   |
      | is too large when decompressed    |

  Scenario: should not forward messages that were queued while the hub was paused
    Given 34 gossiping nodes
    When the hub of a zone resumes after a pause of 5 seconds
    Then in the next 300 milliseconds it forwards no status of another node

  Scenario: should receive host changes from the readers of the store, with few requests to the store
    Given 12 nodes that follow a store, of which 3 are readers
    When hosts change 5 times a second for 20 seconds
    Then every node has each change 300 milliseconds later
    And all nodes together send the store at most 30 requests a second

  Scenario: should not read the store when frequent changes make older ones obsolete
    Given 12 nodes that follow a store, of which 3 are readers
    When 20 hosts change 3 times each within 300 milliseconds
    Then every node has each change 400 milliseconds later
    And nodes other than the leader and the publisher request host changes from the store at most 2 times

  Scenario: should follow the store itself when it receives nothing from readers
    Given 12 nodes that follow a store, of which 3 are readers
    When no node receives messages for 10 seconds
    Then every node has each of 8 successive changes 1000 milliseconds later

  # Guards against nodes that keep a host because one publisher was without the store.
  Scenario: should drop a removed host when only the publisher takes the removal for a lapse
    Given 12 nodes that follow a store, of which 3 are readers
    When a publisher sends the removal of a host, which it takes for a lapse
    Then no node lists the host

  # Guards against a listing that takes back a newer change from a peer.
  Scenario: should not list a host again by a listing that is older than its removal
    Given 12 nodes that follow a store, of which 3 are readers
    When node 5 lists the hosts again, and one leaves before the listing arrives
    Then no node lists the host

  # Guards against new publishers that go on with the long pause of other nodes.
  Scenario: should read the store at once when its role asks for it
    Given 12 nodes that follow a store, of which 3 are readers, with lists that may be 6 seconds old
    When nodes 5 and 6 become the publishers and a host leaves
    Then every node has each change 800 milliseconds later

  # Guards against nodes that rely on publishers that don't read the store.
  Scenario: should learn in time that a host left when publishers get no response from the store
    Given 12 nodes that follow a store, of which 3 are readers
    When at 16 moments, 100 milliseconds apart, publishers get no response as a host leaves
    Then at each moment every other node learned of it within 3000 milliseconds

  # Guards against a list that gets too old while a poll that has just begun gets
  # no response.
  Scenario: should learn in time that a host left when its own poll has just begun and gets no response
    Given 12 nodes that follow a store, of which 3 are readers, with lists that may be 1 seconds old
    When at 6 moments before the polls of subscribers, 180 milliseconds apart, messages and long polls begin to get lost as a host leaves
    Then at each moment every other node learned of it within 2000 milliseconds

  Scenario: should ignore an outdated host change from a peer
    Given 12 nodes that follow a store, of which 3 are readers
    When a peer sends the state of a host from before it left
    Then no node adds the host again

  Scenario: should learn of an operator's document when its own request to the store gets no response
    Given 12 nodes that follow a store, of which 3 are readers
    When the long polls of node 9 get no response and a zone is taken out of service
    Then node 9 has taken the zone out of service 1500 milliseconds later

  Scenario: should detect that the last host change was lost
    Given 12 nodes that follow a store, of which 3 are readers, with lists that may be 6 seconds old
    When every message is lost for 900 milliseconds in which a host leaves
    Then every node has each change 500 milliseconds later

  Scenario: should not read changes again that a listing covers
    Given 12 nodes that follow a store, of which 3 are readers
    When a host leaves and a node that starts later lists the hosts
    Then all nodes together send the store at most 30 requests a second in 20 seconds

  Scenario: should detect that an earlier host change was lost
    Given 12 nodes that follow a store, of which 3 are readers, with lists that may be 6 seconds old
    When every message is lost for 600 milliseconds in which a host leaves, and another changes later
    Then every node has each change 1500 milliseconds later
