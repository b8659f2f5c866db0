#ifndef CORNELDECK_CTL_LINEDIFF_H
#define CORNELDECK_CTL_LINEDIFF_H

#include <string>

namespace corneldeck::ctl {

/// Compares two texts line by line.
///
/// \returns the lines with "- " before those only in \p Old, "+ " before those
/// only in \p New and "  " before common ones; empty if there is no
/// difference.
std::string diffLines(const std::string &Old, const std::string &New);

} // namespace corneldeck::ctl

#endif
