Feature: Whole sessions, as operators and callers see them
  Each session is compared, line by line and in order, with its golden file.

  Background:
    Given 3 nodes before 2 fabric domains of 12 hosts

  Scenario: The first deployment
    When amaka plans 4 replicas of 4 hosts at ikeja-1
    And amaka confirms that plan at apapa-1
    And 4 replicas serve
    And amaka gets services at lekki-1
    And amaka gets replicas at lekki-1
    And shop-lagos asks ikeja-1 for a streamed answer to "A warm ochre wall."
    And shop-ibadan asks apapa-1 for a whole answer to "An old tin of teal."
    And amaka explains the latest request at apapa-1
    And shop-lagos orders "2 tins" with the key "order-1" at ikeja-1
    And shop-lagos orders "2 tins" with the key "order-1" at lekki-1
    And someone with the key "wrong" asks ikeja-1 for a whole answer to "x"
    And amaka plans 9 replicas of 4 hosts at ikeja-1
    Then the session is as recorded in first_deployment

  Scenario: A host is lost and the replica repaired
    Given amaka has 4 replicas of 4 hosts in force
    When host 2 of tint-model-1 dies
    And 8 seconds pass
    And amaka explains replica tint-model-1 at apapa-1
    And amaka explains the lost host at apapa-1
    And the lost host comes back
    And 6 seconds pass
    And amaka explains the lost host at apapa-1
    And amaka reads the audit trail at apapa-1
    Then the session is as recorded in host_lost

  Scenario: A drain
    Given amaka has 4 replicas of 4 hosts in force
    When amaka plans to drain host 2 of tint-model-1 at ikeja-1
    And 2 seconds pass
    And amaka gets replicas at ikeja-1
    And amaka confirms that plan at ikeja-1
    And 8 seconds pass
    And amaka gets replicas at ikeja-1
    And amaka explains the drained host at ikeja-1
    And amaka reads the audit trail at lekki-1
    Then the session is as recorded in drain

  Scenario: Two operators race
    Given amaka has 4 replicas of 4 hosts in force
    When amaka plans 3 replicas of 4 hosts at ikeja-1
    And bola plans 2 replicas of 4 hosts at apapa-1
    And bola confirms that plan at apapa-1
    And amaka confirms her earlier plan at ikeja-1
    And bola confirms that plan at lekki-1
    And viewer plans 1 replicas of 4 hosts at ikeja-1
    And 6 seconds pass
    And amaka gets services at ikeja-1
    Then the session is as recorded in race

  Scenario: The table is down
    Given amaka has 4 replicas of 4 hosts in force
    When amaka plans 3 replicas of 4 hosts at ikeja-1
    And the table goes down
    And 30 seconds pass
    And shop-lagos asks ikeja-1 for a streamed answer to "A warm ochre wall."
    And shop-lagos orders "2 tins" with the key "order-1" at ikeja-1
    And amaka confirms that plan at apapa-1
    And amaka plans 2 replicas of 4 hosts at ikeja-1
    And amaka reads the audit trail at apapa-1
    And host 2 of tint-model-1 dies
    And 4 seconds pass
    And amaka gets replicas at ikeja-1
    And the table comes back
    And 15 seconds pass
    And shop-lagos orders "2 tins" with the key "order-1" at lekki-1
    And amaka confirms her earlier plan at apapa-1
    And amaka gets services at apapa-1
    Then the session is as recorded in table_down
