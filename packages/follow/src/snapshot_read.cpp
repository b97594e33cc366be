// Reads a snapshot of a keyed topic, page by page.
#include "tamarack/follow.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarack::follow {

namespace {

// One read, kept alive by the handler of its pending call.
class snapshot_read : public std::enable_shared_from_this<snapshot_read> {
public:
  snapshot_read(keyed_store &Store, store_topic Topic, page_handler OnPage,
                snapshot_end_handler OnEnd)
      : Store(Store), Topic(Topic), OnPage(std::move(OnPage)),
        OnEnd(std::move(OnEnd)) {}

  void requestNextPage() {
    const std::shared_ptr<snapshot_read> Self = shared_from_this();
    Store.readSnapshotPage(Topic, LastKey, [Self](keyed_page Page) {
      Self->receive(std::move(Page));
    });
  }

private:
  void receive(keyed_page Page) {
    if (Page.Status != store_status::Ok)
      return finish(Page.Status);
    const bool IsFirst = End.Pages == 0;
    // Pages of two eras are no snapshot.
    if (!IsFirst && Page.Era != End.Era)
      return finish(store_status::Refused);
    End.Era = Page.Era;
    // A page lacks what was appended after it was read, and a later page may
    // have been read earlier: another instance may share it.
    End.NextOffset =
        IsFirst ? Page.NextOffset : std::min(End.NextOffset, Page.NextOffset);
    End.StaleMs = std::max(End.StaleMs, Page.StaleMs);
    ++End.Pages;
    End.Records += Page.Records.size();
    const bool More = Page.More;
    End.IsStuck = More && !advance(Page);
    OnPage(std::move(Page));
    if (More && !End.IsStuck)
      return requestNextPage();
    finish(End.IsStuck ? store_status::Refused : store_status::Ok);
  }

  // False if the store would repeat a page: the page that follows a key is
  // always the same. The order of the keys is the store's own.
  bool advance(const keyed_page &Page) {
    if (Page.Records.empty())
      return false;
    LastKey = Page.Records.back().Key;
    return LastKeys.insert(*LastKey).second;
  }

  void finish(store_status Status) {
    End.Status = Status;
    OnEnd(End);
  }

  keyed_store &Store;
  store_topic Topic;
  page_handler OnPage;
  snapshot_end_handler OnEnd;
  snapshot_end End;
  std::optional<std::string> LastKey; // Of the pages received so far.
  std::set<std::string> LastKeys;     // Of each page.
};

} // namespace

void readSnapshot(keyed_store &Store, store_topic Topic, page_handler OnPage,
                  snapshot_end_handler OnEnd) {
  std::make_shared<snapshot_read>(Store, Topic, std::move(OnPage),
                                  std::move(OnEnd))
      ->requestNextPage();
}

} // namespace tamarack::follow
