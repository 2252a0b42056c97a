Feature: Bookings survive the failures of processes

  Scenario: The primary is killed under load
    Given a deployment under load
    When the primary is killed
    Then another target becomes primary
    And the load ends with bookings at the new primary
    And every answer was true

  Scenario: The primary is frozen and comes back
    Given a deployment under load
    When the primary is frozen
    Then another target becomes primary
    When the old primary is resumed
    Then it follows the new primary
    And the load ends with bookings at the new primary
    And every answer was true

  Scenario: A proxy is killed in mid-transaction
    Given a deployment whose statements take 300 ms
    When an order of two entries is sent to the first proxy
    And the first proxy is killed while the order runs
    And the order is sent again through the second proxy
    Then the order is recorded whole or not at all, as its answer says
    And another order is done through the third proxy

  Scenario: A booking is sent again while and after it runs
    Given a deployment whose statements take 300 ms
    When a booking is sent to the first proxy
    And it is sent again through the second proxy while it runs
    And it is sent again through the third proxy afterwards
    Then all three get the same answer
    And the booking is recorded once

  Scenario Outline: A leaving target gets no new work
    Given a deployment under load
    When the <role> announces that it leaves
    Then it gets no more work while others do
    And the load ends with bookings at the new primary
    And every answer was true

    Examples:
      | role    |
      | replica |
      | primary |

  Scenario: A proxy stops and cuts nothing off
    Given a deployment whose statements take 300 ms
    When three bookings are sent to the first proxy
    And the first proxy is asked to stop while they run
    Then all three bookings are done
    And the first proxy ends with status 0

  Scenario: A cut-off data centre serves the reads that it may
    Given a deployment with cuttable links
    And a booking that all replicas have
    When the data centre of the second proxy is cut off
    Then the second proxy claims no booking and says when to come back
    And it refuses writes that need no claim as not run
    And the caller reads its booking there from a replica
    And reads that need fresher data are refused there as not run
    When the links are healed
    Then a booking is done through the second proxy
    And none of the unclaimed bookings is recorded
