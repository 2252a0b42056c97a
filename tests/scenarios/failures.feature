Feature: Bookings survive the failures of processes

  Scenario: The primary is killed under load
    Given a deployment under load
    When the primary is killed
    Then another target becomes primary
    And the load ends with bookings at the new primary
    And every answer was correct

  Scenario: The primary is paused and resumed
    Given a deployment under load
    When the primary is paused
    Then another target becomes primary
    When the old primary is resumed
    Then it follows the new primary
    And the load ends with bookings at the new primary
    And every answer was correct

  Scenario: A proxy is killed during a transaction
    Given a deployment whose statements take 300 ms
    When an order of two entries is sent to the first proxy
    And the first proxy is killed while the order runs
    And the order is sent again through the second proxy
    Then the order is recorded completely or not at all, as its answer says
    And another order is done through the third proxy

  Scenario: A booking is sent again while and after it runs
    Given a deployment whose statements take 300 ms
    When a booking is sent to the first proxy
    And it is sent again through the second proxy while it runs
    And it is sent again through the third proxy afterwards
    Then all three get the same answer
    And the booking is recorded once

  Scenario Outline: A leaving target gets no new statements
    Given a deployment under load
    When the <role> announces that it leaves
    Then it gets no more statements while other targets do
    And the load ends with bookings at the new primary
    And every answer was correct

    Examples:
      | role    |
      | replica |
      | primary |

  Scenario: A stopping proxy completes its running requests
    Given a deployment whose statements take 300 ms
    When three bookings are sent to the first proxy
    And the first proxy is asked to stop while they run
    Then all three bookings are done
    And the first proxy exits with status 0

  Scenario: A cut-off data centre serves the reads that it may
    Given a deployment whose links can be cut
    And a booking that all replicas have
    When the data centre of the second proxy is isolated
    Then the second proxy claims no booking and says when to retry
    And it refuses writes that need no claim as not run
    And the caller reads its booking there from a replica
    And reads that need fresher data are refused there as not run
    When the links are healed
    Then a booking is done through the second proxy
    And none of the unclaimed bookings is recorded
