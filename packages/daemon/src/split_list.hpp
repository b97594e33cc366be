// Lists in settings, separated by commas.
#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace tamarack::daemon {

// The items of "a,b,c", without empty items.
inline std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream Input(Text);
  std::string Item;
  while (std::getline(Input, Item, ','))
    if (!Item.empty())
      Result.push_back(Item);
  return Result;
}

} // namespace tamarack::daemon
