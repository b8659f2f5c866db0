#include "AgentSoak.h"
#include "Soak.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>

namespace po = boost::program_options;
using namespace corneldeck;
using namespace corneldeck::tests;

namespace {

const std::map<std::string, Plant> Plants = {
    {"retry-after-silence", Plant::RetryAfterSilence},
    {"version-goes-back", Plant::VersionGoesBack},
    {"leaving-still-used", Plant::LeavingStillUsed},
    {"answer-of-another", Plant::AnswerOfAnother},
    {"limit-exceeded", Plant::LimitExceeded},
    {"notice-ignored", Plant::NoticeIgnored},
    {"pause-ignored", Plant::PauseIgnored},
    {"era-ignored", Plant::EraIgnored},
    {"fatal-part-hidden", Plant::FatalPartHidden}};

const std::map<std::string, AgentPlant> AgentPlants = {
    {"mixed-maps", AgentPlant::MixedMaps},
    {"group-stands", AgentPlant::GroupStands}};

/// Plays one seed of \p World, which is Soak or AgentSoak.
/// \returns whether all promises were kept or, if a mistake is planted, whether
/// the promise that it breaks was reported.
template <typename World, typename WorldSettings>
bool playSeed(WorldSettings Settings, const std::string &Folder,
              bool IsPlanted) {
  const std::filesystem::path Own = std::filesystem::path(Folder) /
                                    ("seed-" + std::to_string(Settings.m_Seed));
  std::filesystem::remove_all(Own);
  std::filesystem::create_directories(Own);
  Settings.m_Folder = Own.string();
  World Run(Settings);
  Run.run();
  std::cout << Run.summary() << '\n';
  for (const std::string &Each : Run.violations())
    std::cout << "  broken: " << Each << '\n';
  if (IsPlanted ? !Run.isPlantFound() : !Run.violations().empty())
    return false;
  std::filesystem::remove_all(Own);
  return true;
}

} // namespace

int main(int Count, char **Words) {
  std::uint64_t First = 1;
  std::uint64_t Seeds = 1;
  std::int64_t Seconds = 12;
  std::string Program;
  std::string AgentProgram;
  std::uint32_t Ranks = 6;
  std::string Folder = "soak-logs";
  std::string Planted;
  po::options_description Options("corneldeck-soak options");
  Options.add_options()("entry", po::value(&Program),
                        "the program of an entry")(
      "agent", po::value(&AgentProgram),
      "the program of an agent; plays a rank group instead of entries")(
      "ranks", po::value(&Ranks), "how many ranks the group has")(
      "seed", po::value(&First), "the first seed")("seeds", po::value(&Seeds),
                                                   "how many seeds to play")(
      "seconds", po::value(&Seconds),
      "the length of each")("folder", po::value(&Folder),
                            "where settings and logs of failed seeds stay")(
      "plant", po::value(&Planted),
      "a mistake that must be found")("help", "print this text and exit");
  SoakSettings Settings;
  AgentSoakSettings AgentSettings;
  try {
    po::variables_map Values;
    po::store(po::parse_command_line(Count, Words, Options), Values);
    if (Values.count("help") > 0) {
      std::cout << Options;
      return 0;
    }
    po::notify(Values);
    if (Program.empty() == AgentProgram.empty())
      throw std::invalid_argument("either --entry or --agent is required");
    if (!Planted.empty() && !Program.empty())
      Settings.m_Plant = Plants.at(Planted);
    if (!Planted.empty() && !AgentProgram.empty())
      AgentSettings.m_Plant = AgentPlants.at(Planted);
  } catch (const std::exception &Problem) {
    std::cerr << "corneldeck-soak: " << Problem.what() << "; see --help\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Settings.m_EntryProgram = Program;
  Settings.m_Length = base::seconds(Seconds);
  AgentSettings.m_AgentProgram = AgentProgram;
  AgentSettings.m_Length = base::seconds(Seconds);
  AgentSettings.m_Ranks = Ranks;
  const bool IsPlanted = !Planted.empty();
  std::uint64_t Failed = 0;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    Settings.m_Seed = Seed;
    AgentSettings.m_Seed = Seed;
    const bool IsPassed =
        AgentProgram.empty()
            ? playSeed<Soak>(Settings, Folder, IsPlanted)
            : playSeed<AgentSoak>(AgentSettings, Folder, IsPlanted);
    Failed += IsPassed ? 0 : 1;
  }
  std::cout << Seeds << " seeds, " << Failed
            << (IsPlanted ? " without the planted mistake\n" : " broken\n");
  return Failed == 0 ? 0 : 1;
}
