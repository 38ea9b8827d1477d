#ifndef EELGRASSPIN_IO_OBJECT_STORE_HTTP_H_
#define EELGRASSPIN_IO_OBJECT_STORE_HTTP_H_

#include "eelgrasspin/object_store.h"
#include "eelgrasspin/vm_list.h"
#include "io/http_client.h"

namespace eelgrasspin::io {

/// Client of the platform's object store, over HTTP. docs/design/platform.md
/// describes the protocol.
class ObjectStoreHttp : public ObjectStore {
 public:
  ObjectStoreHttp(boost::asio::io_context& io, const Endpoint& endpoint);

  void read(const StoreKey& key, Callback done) override;
  void list(const StoreKey& prefix, Callback done) override;
  void write(const StoreKey& key, Version expected, const Record& record,
             Callback done) override;
  void watch(const StoreKey& prefix, Version since, Duration wait,
             Callback done) override;

 private:
  HttpClient call_client_;
  HttpClient watch_client_;
};

/// Client of the platform's VM list, over HTTP: GET /vms.
class VmListHttp : public VmList {
 public:
  VmListHttp(boost::asio::io_context& io, const Endpoint& endpoint);

  void list(Callback done) override;

 private:
  HttpClient client_;
};

}  // namespace eelgrasspin::io

#endif  // EELGRASSPIN_IO_OBJECT_STORE_HTTP_H_
