#ifndef CORNELDECK_CTL_PUBLISHING_H
#define CORNELDECK_CTL_PUBLISHING_H

#include "Admin/Messages.h"
#include "Ctl/Command.h"

namespace corneldeck::ctl {

/// \returns an identifier that no other change has.
std::string newChangeId();

/// Publishes changes, asks again while the outcome is unknown, waits if the
/// command line says so, and prints what became of them.
ExitCode publishAndReport(Invocation &Run,
                          const admin::PublishRequest &Request);

} // namespace corneldeck::ctl

#endif
