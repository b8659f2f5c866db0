#include "Claims/ClaimKey.h"

#include "Base/RendezvousHash.h"

namespace corneldeck::claims {

namespace {

constexpr std::uint64_t HighSeed = 0x9e3779b97f4a7c15;

// Prefixes each part with its length, so that different parts never give the
// same text.
void appendPart(std::string &Text, std::string_view Part) {
  Text += std::to_string(Part.size());
  Text += ':';
  Text += Part;
}

} // namespace

ClaimKey claimKey(std::string_view Service, std::string_view Customer,
                  std::string_view Key) {
  std::string Text;
  appendPart(Text, Service);
  appendPart(Text, Customer);
  appendPart(Text, Key);
  return {base::hash64(Text, HighSeed), base::hash64(Text)};
}

std::string homeOf(const ClaimKey &Key, std::span<const std::string> Servers) {
  if (Servers.empty())
    return {};
  const std::string Text =
      std::to_string(Key.m_High) + ':' + std::to_string(Key.m_Low);
  return Servers[base::rankByRendezvous(Text, Servers).front()];
}

std::uint64_t fingerprint(std::string_view Method, std::string_view Path,
                          std::string_view Body) {
  std::string Text;
  appendPart(Text, Method);
  appendPart(Text, Path);
  appendPart(Text, Body);
  return base::hash64(Text);
}

} // namespace corneldeck::claims
