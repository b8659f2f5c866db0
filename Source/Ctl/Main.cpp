#include "Ctl/Command.h"

#include <iostream>

int main(int Count, char **Arguments) {
  using namespace corneldeck::ctl;
  try {
    const std::vector<std::string> Line(Arguments + 1, Arguments + Count);
    return static_cast<int>(runCtl(Line, std::cout, std::cerr));
  } catch (const std::exception &Failure) {
    std::cerr << "corneldeckctl: " << Failure.what() << std::endl;
    return static_cast<int>(ExitCode::Failed);
  }
}
