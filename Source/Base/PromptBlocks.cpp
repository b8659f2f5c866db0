#include "Base/PromptBlocks.h"

#include "Base/RendezvousHash.h"

namespace corneldeck::base {

namespace {
constexpr std::size_t BytesPerToken = 4;
} // namespace

std::uint32_t promptTokens(std::string_view Prompt) {
  return static_cast<std::uint32_t>(Prompt.size() / BytesPerToken + 1);
}

std::vector<std::uint64_t> promptBlocks(std::string_view Prompt) {
  constexpr std::size_t BlockBytes = PromptBlockTokens * BytesPerToken;
  std::vector<std::uint64_t> Blocks;
  std::uint64_t Hash = 0;
  for (; Prompt.size() >= BlockBytes; Prompt.remove_prefix(BlockBytes)) {
    Hash = hash64(Prompt.substr(0, BlockBytes), Hash);
    Blocks.push_back(Hash);
  }
  return Blocks;
}

} // namespace corneldeck::base
