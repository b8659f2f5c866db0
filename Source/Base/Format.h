#ifndef CORNELDECK_BASE_FORMAT_H
#define CORNELDECK_BASE_FORMAT_H

#include <string>

namespace corneldeck::base {

/// \returns \p Value as a decimal number with at most six decimal places and
/// without trailing zeros.
std::string formatDecimal(double Value);

} // namespace corneldeck::base

#endif
