#include "Entry/EntryDaemon.h"
#include "Node/DaemonMain.h"

using namespace corneldeck;

int main(int Count, char **Words) {
  return node::daemonMain<entry::EntryDaemon>(Count, Words, "corneldeck-entry",
                                              entry::readEntrySettings);
}
