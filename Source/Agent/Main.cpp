#include "Agent/AgentDaemon.h"
#include "Node/DaemonMain.h"

using namespace corneldeck;

int main(int Count, char **Words) {
  return node::daemonMain<agent::AgentDaemon>(Count, Words, "corneldeck-agent",
                                              agent::readAgentSettings);
}
