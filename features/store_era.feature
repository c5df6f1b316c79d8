@store-era
Feature: Eras of the store

  # Guards against leases whose ids belong to others since the store was restored.
  Scenario Outline: should not <use> another client's lease that has the id of a lost one, <knowledge>
    Given a lease that the store has lost and granted to another client
    And a client that <knowledge>
    When the client would <use> its lease
    Then its lease has ended, and the other client's lease and keys are as before

    Examples:
      | use          | knowledge                    |
      | renew        | knows that the store was restored |
      | end          | knows that the store was restored |
      | write under  | knows that the store was restored |
      | renew        | doesn't know it yet          |
      | end          | doesn't know it yet          |

  # Guards against a write under a lease of a former era that counts as done.
  Scenario: should not count a write under a lost lease, even if the store carried it out
    Given a lease that the store has lost and granted to another client
    And a client that doesn't know it yet
    When the client would write under its lease
    Then the write counts as ambiguous

  # Guards against answers that cross: one from before the restoration arrives last.
  Scenario Outline: should not use <answer> of a former era that arrives after one of the newest
    Given a store whose answers to one client are delayed
    When <answer> from before a restoration arrives after another answer
    Then the client is told that the store was restored

    Examples:
      | answer      |
      | a listing   |
      | changes     |
      | a write     |
      | a new lease |

  # Guards against changes that are missed as their revisions were given out twice.
  Scenario: should not continue a watch from a former era, though the store has the revision again
    Given a store whose answers to one client are delayed
    When the client asks for changes after a revision that was given out twice
    Then it learns that the store was restored

  Scenario: should read the era from each answer of the store over HTTP
    Given a store over HTTP in era 41
    When it is restored between two calls of each kind
    Then each answer has the era in which the store gave it

  Scenario: should take a store without eras for one that was never restored
    Given a store over HTTP that sends no era
    Then its answers have era 0

  # Guards against a listing of which the last pages are older than the first.
  Scenario: should list again when the store is restored between two pages
    Given a store over HTTP that is restored between the pages of a listing
    Then the listing has pages of the newest era alone

  # Guards against epochs that hosts refuse, or that lose digits in JSON.
  Scenario Outline: should number terms safely and upwards when the first era is <era>
    Given a node that leads in a store whose first era is <era>
    When the store is restored 3 times and the node leads again each time
    Then the terms rise, and their epochs are safe integers

    Examples:
      | era          |
      | 0            |
      | 1            |
      | 1048570      |
      | 1790032699   |

  # Guards against a second leader while the holder of a lost lease still trusts it.
  Scenario: should not lead as long as the holder of a lost lease may trust it
    Given two nodes, of which one leads and renews its lease at any moment
    When the store loses the leader's key and the other node learns of it first
    Then no two nodes lead at the same time, and one does 4 seconds later

  # Guards against seconds without a leader because its own key is in its way.
  Scenario: should lead again soon when the copy has the leader's own key
    Given a node that leads in a store whose first era is 0
    When the store is restored from a copy with the leader's key
    Then the node leads again within 700 milliseconds

  # Guards against peers of two eras that apply each other's changes.
  Scenario: should ignore what a peer read in a former era
    Given a node that follows a store in era 4
    When a peer in era 3 sends a change of a host with a high revision
    Then the node's list of hosts is that of the store

  Scenario: should apply a change from a peer in a newer era, and list again
    Given a node that follows a store in era 4
    When a peer in era 5 sends a change of a host with a low revision
    Then the host leaves, and the node lists the hosts again

  Scenario: should not confirm the list by a peer's read before its own in the new era
    Given a node that follows a store in era 4
    When the store is away and a peer in era 5 sends its reads
    Then the list gets older

  # Guards against a feed that polls without pauses ever after.
  Scenario: should pause between polls as before once a listing has shown the restoration
    Given a follower of a busy store
    When the store is restored and a listing shows it first
    Then it polls at most a third more often in the next 10 seconds than before

  # Guards against requests to hosts that a later listing of the copy shows as serving.
  Scenario Outline: should leave out a host known to have left, <how>, when another listing follows
    Given a follower of a quiet store
    When a host is <how>, and the store is restored from before that
    And the history is compacted half a second later
    Then the host is never listed as serving

    Examples:
      | how      |
      | removed  |
      | draining |

  # Guards against a check of the first restoration that ends the second one's wait.
  Scenario Outline: should leave out a host known to have left when the store is restored again after <ms> ms
    Given a follower of a quiet store
    When a host is removed, and the store is restored from before that
    And it is restored once more <ms> milliseconds later
    Then the host is never listed as serving

    Examples:
      | ms   |
      | 1000 |
      | 3400 |

  # Guards against a campaign in progress that doesn't wait for a lost lease.
  Scenario: should not go on with a campaign that began before the restoration
    Given two nodes that campaign, of which one leads
    When the store loses the key as the other one is granted a lease
    Then they never led at once, and one leads

  # Guards against seconds without a leader because the key has another's lease.
  Scenario: should elect a leader when a late write has taken the key under another's lease
    Given two nodes that campaign, of which one leads
    When a late write of the other one takes the key under another's lease, and its node lives
    Then a node leads for most of the next 20 seconds

  @known-red
  Scenario: should elect a leader when the node that took the key under another's lease ends
    Given two nodes that campaign, of which one leads
    When a late write of the other one takes the key under another's lease, and its node ends
    Then a node leads for most of the next 20 seconds
