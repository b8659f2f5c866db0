#include "Settings/Documents.h"

#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace corneldeck::settings {

namespace {

/// Discards all parser events.
class IgnoringEventHandler : public YAML::EventHandler {
public:
  void OnDocumentStart(const YAML::Mark &) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark &, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark &, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) override {}
  void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}
};

} // namespace

std::size_t countDocuments(const std::string &Text, std::size_t Limit) {
  std::istringstream Input(Text);
  YAML::Parser Parser(Input);
  IgnoringEventHandler Handler;
  std::size_t Count = 0;
  while (Count <= Limit && Parser.HandleNextDocument(Handler))
    ++Count;
  return Count;
}

} // namespace corneldeck::settings
