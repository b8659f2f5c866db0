#ifndef CORNELDECK_BASE_PROMPTBLOCKS_H
#define CORNELDECK_BASE_PROMPTBLOCKS_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace corneldeck::base {

/// Number of tokens in one prefix block. Entries and engines must use the same
/// value.
inline constexpr std::uint32_t PromptBlockTokens = 64;

/// \returns the estimated number of tokens of \p Prompt.
std::uint32_t promptTokens(std::string_view Prompt);

/// \returns the hashes of the full blocks of \p Prompt. Each hash also covers
/// all earlier blocks, so equal hashes mean equal prefixes.
std::vector<std::uint64_t> promptBlocks(std::string_view Prompt);

} // namespace corneldeck::base

#endif
