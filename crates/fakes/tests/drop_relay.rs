//! Tests that data sent after a cut of the relay never arrives.

use fakes::DropRelay;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Number of cuts. The data and the cut are ready at the same time and the
/// relay picks one of them at random, so a single cut would prove little.
const CUTS: u32 = 500;

#[tokio::test(flavor = "multi_thread", worker_threads = 1)]
async fn cut_stream_carries_nothing() {
    // A backend server responds right after the cut. The relay may read the
    // response before it notices the cut, and must not forward it.
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = DropRelay::start().await.unwrap();
    relay.set_target(target.local_addr().unwrap());
    for _ in 0..CUTS {
        let mut caller = TcpStream::connect(relay.address()).await.unwrap();
        caller.write_all(b"?").await.unwrap();
        let (mut server, _) = target.accept().await.unwrap();
        server.read_exact(&mut [0]).await.unwrap();
        relay.set_cut(true);
        server.write_all(b"answer").await.unwrap();
        let mut got = Vec::new();
        let _ = caller.read_to_end(&mut got).await;
        assert_eq!(got, b"", "data sent after the cut was relayed");
        relay.set_cut(false);
    }
    relay.stop().await;
}
