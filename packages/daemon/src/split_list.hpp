// Lists in settings.
#pragma once

#include <sstream>
#include <string>
#include <vector>

namespace tamarack::daemon {

// The items of "a,b,c", empty ones left out.
inline std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream In(Text);
  std::string Item;
  while (std::getline(In, Item, ','))
    if (!Item.empty())
      Result.push_back(Item);
  return Result;
}

} // namespace tamarack::daemon
