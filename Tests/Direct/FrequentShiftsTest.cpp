#include "StreamModel.h"

namespace corneldeck::direct::streammodel {

// Load: experts shift every 4 s, and the map follows after one second.
TEST(GroupStreams, FrequentShifts) {
  Comparison(scenario(constant(ModerateRate), jumping(2.5, 4)))
      .expectNotFewer();
}

} // namespace corneldeck::direct::streammodel
