"""Classification of requests and selection of their destination."""
