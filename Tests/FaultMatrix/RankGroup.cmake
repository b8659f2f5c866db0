# Faults of the map switch, and its exploration.
add_test(NAME FaultMatrix.map-switch COMMAND corneldeck-bench fault-matrix --promise map-switch)
if(NOT CORNELDECK_SANITIZE)
  # Millions of states; the fuzz runs the same code under the sanitizers.
  add_test(NAME FaultMatrix.map-switch-explore COMMAND corneldeck-bench fault-matrix --promise map-switch-explore)
endif()
foreach(Plant forget-vote late-vote lose-abort no-hold)
  add_test(NAME FaultMatrix.map-switch.${Plant} COMMAND corneldeck-bench fault-matrix --promise map-switch --plant ${Plant})
  set_tests_properties(FaultMatrix.map-switch.${Plant} PROPERTIES WILL_FAIL TRUE)
  add_test(NAME FaultMatrix.map-switch-explore.${Plant} COMMAND corneldeck-bench fault-matrix --promise map-switch-explore --plant ${Plant})
  set_tests_properties(FaultMatrix.map-switch-explore.${Plant} PROPERTIES WILL_FAIL TRUE)
endforeach()
if(NOT CORNELDECK_SANITIZE)
  # Measures; the unit tests and the fuzz run the same code under sanitizers.
  add_test(NAME Bench.rebalance.vakif COMMAND corneldeck-bench run rebalance --fleet vakif --check)
  add_test(NAME Bench.rebalance.ajoke COMMAND corneldeck-bench run rebalance --fleet ajoke --check)
  add_test(NAME Bench.map-switch COMMAND corneldeck-bench run map-switch --check)
endif()
