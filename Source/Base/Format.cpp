#include "Base/Format.h"

namespace corneldeck::base {

std::string formatDecimal(double Value) {
  std::string Text = std::to_string(Value);
  Text.erase(Text.find_last_not_of('0') + 1);
  if (Text.ends_with('.'))
    Text.pop_back();
  return Text;
}

} // namespace corneldeck::base
