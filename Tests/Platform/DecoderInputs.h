#ifndef CORNELDECK_TESTS_PLATFORM_DECODERINPUTS_H
#define CORNELDECK_TESTS_PLATFORM_DECODERINPUTS_H

#include "Base/Random.h"

#include <map>
#include <string>

namespace corneldeck::platform {

/// A valid configuration.
inline constexpr const char *Config =
    R"({"version":7,"routes":[{"name":"r","hostname":"h","path-prefix":"/a/",
"type":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,
"traffic-split":[{"backend":"s","weight":90},{"backend":"t","weight":10}],
"max-attempts":2,"public":false,"resumable":true,"itl-target-ms":120}],
"backends":[{"name":"s","health-check-path":"/healthz","max-connections":358,
"engine":{"capacity":12,"step_ms":4.55,"per_seq_ms":0.905,"stride":4,
"layer-sets":4,"experts":72,"placements":8,"reserve":3}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"c","api-keys":["k"],"priority":1}]})";

/// Number of damaged inputs for a decoder.
inline constexpr int DamagedInputs = 20000;

/// Corrupts the text at one to four random positions: replaces, erases,
/// duplicates or inserts bytes.
inline std::string corrupt(std::string Text, base::Random &Rng) {
  for (std::uint64_t Count = 1 + Rng.below(4); Count > 0 && !Text.empty();
       --Count) {
    const std::size_t At = Rng.below(Text.size());
    switch (Rng.below(4)) {
    case 0:
      Text[At] = static_cast<char>(Rng.below(256));
      break;
    case 1:
      Text.erase(At, 1 + Rng.below(20));
      break;
    case 2:
      Text.insert(At, Text.substr(Rng.below(Text.size()), Rng.below(20)));
      break;
    default:
      Text.insert(At, std::to_string(Rng.below(1ULL << 62)));
      break;
    }
  }
  return Text;
}

/// Returns the record of a server with \p Value, as JSON, in the field \p Name.
inline std::string serverWith(const std::string &Name,
                              const std::string &Value) {
  std::map<std::string, std::string> Fields = {
      {"backend", "\"s\""},
      {"address", "\"10.0.0.9:8080\""},
      {"zone", "\"z\""},
      {"capacity", "12"},
      {"sequence", "4"},
      {"born", "17"},
      {"warmup-remaining-ms", "5"},
      {"lifecycle-state", "\"ready\""}};
  Fields[Name] = Value;
  std::string Text;
  for (const auto &[Field, Content] : Fields)
    Text.append(Text.empty() ? "{\"" : ",\"")
        .append(Field)
        .append("\":")
        .append(Content);
  return Text + "}";
}

inline std::string nestedArrays(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

inline constexpr std::size_t ExcessiveDepth = 100'000;

} // namespace corneldeck::platform

#endif
