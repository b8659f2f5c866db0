#include "Ctl/LineDiff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace corneldeck::ctl {

namespace {

using Lines = std::vector<std::string>;

Lines split(const std::string &Text) {
  std::istringstream Input(Text);
  Lines All;
  for (std::string Line; std::getline(Input, Line);)
    All.push_back(Line);
  return All;
}

/// \returns for each pair of line numbers the length of the longest common
/// subsequence of the lines from there on.
std::vector<std::vector<std::size_t>> commonLengths(const Lines &Old,
                                                    const Lines &New) {
  std::vector<std::vector<std::size_t>> Lengths(
      Old.size() + 1, std::vector<std::size_t>(New.size() + 1));
  for (std::size_t I = Old.size(); I-- > 0;)
    for (std::size_t J = New.size(); J-- > 0;)
      Lengths[I][J] = Old[I] == New[J]
                          ? Lengths[I + 1][J + 1] + 1
                          : std::max(Lengths[I + 1][J], Lengths[I][J + 1]);
  return Lengths;
}

} // namespace

std::string diffLines(const std::string &Old, const std::string &New) {
  const Lines Before = split(Old);
  const Lines After = split(New);
  if (Before == After)
    return "";
  const auto Lengths = commonLengths(Before, After);
  std::string Text;
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < Before.size() || J < After.size()) {
    const bool Both = I < Before.size() && J < After.size();
    if (Both && Before[I] == After[J]) {
      Text += "  " + Before[I++] + "\n";
      ++J;
    } else if (J == After.size() ||
               (Both && Lengths[I + 1][J] >= Lengths[I][J + 1])) {
      Text += "- " + Before[I++] + "\n";
    } else {
      Text += "+ " + After[J++] + "\n";
    }
  }
  return Text;
}

} // namespace corneldeck::ctl
