#ifndef CORNELDECK_RANKGROUP_STOREBUDGET_H
#define CORNELDECK_RANKGROUP_STOREBUDGET_H

#include "Base/Millis.h"

#include <map>
#include <string>

namespace corneldeck::rankgroup {

/// Shares the weight store's rate between the groups that load from it.
///
/// Each group that wants copies gets an equal part of the rate. What a group
/// leaves goes to the others, and a group's unused part is saved up only to a
/// bound, so that a long pause brings no burst that slows the others.
class StoreBudget {
public:
  struct Config {
    /// Copies a second that the store gives to all groups together.
    double m_CopiesPerSecond = 4;
    /// Most copies that one group may save up.
    double m_BurstCopies = 16;
    /// A group that has not asked for so long gets no part.
    base::Millis m_Forget = base::seconds(120);
  };

  explicit StoreBudget(Config Settings) : m_Config(Settings) {}

  /// Asks for copies.
  /// \param Now the time, in milliseconds. \param Wanted copies to load.
  /// \returns how many of them the group may begin to load now.
  std::size_t grant(const std::string &Group, std::size_t Wanted,
                    base::Millis Now);

private:
  struct Share {
    double m_Saved = 0;
    base::Millis m_LastAsked{};
  };

  void refill(base::Millis Now);

  Config m_Config;
  std::map<std::string, Share> m_Shares;
  base::Millis m_Refilled{};
};

} // namespace corneldeck::rankgroup

#endif
